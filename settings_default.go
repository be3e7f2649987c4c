package pomelo

// DefaultLimits returns the limits used for settings that the file omits.
func DefaultLimits() LimitSettings {
	return LimitSettings{
		BodyBytes:      1 << 20,
		MemoryMB:       512,
		Descriptors:    4096,
		StallTimeout:   20_000,
		HeadBytes:      64 << 10,
		Timeout:        10_000,
		Retries:        2,
		Queue:          1000,
		ConnectTimeout: 500,
		KeyMaxAge:      5_000,
		OwnershipTTL:   2_000,
		Control:        ControlFull,
	}
}
