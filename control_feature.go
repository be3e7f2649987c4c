package pomelo

// The parts of the full control that LimitSettings.Off can switch off, one at a time, for a measurement.
const (
	FeatureSelfTime      = "own_time"
	FeatureQueue         = "queue"
	FeatureImportance    = "importance"
	FeatureFairness      = "fair"
	FeatureRootHash      = "hash"
	FeatureEntryShedding = "entry_shed"
	FeatureRetryBudget   = "retry_ratio"
	FeatureZoneAffinity  = "zone"
)

// ControlFeatures lists the parts that can be switched off.
func ControlFeatures() []string {
	return []string{
		FeatureSelfTime, FeatureQueue, FeatureImportance, FeatureFairness,
		FeatureRootHash, FeatureEntryShedding, FeatureRetryBudget, FeatureZoneAffinity,
	}
}
