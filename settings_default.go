package pomelo

// DefaultLimits are the limits that hold where the settings say nothing.
func DefaultLimits() LimitSettings {
	return LimitSettings{
		BodyBytes:      1 << 20,
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
