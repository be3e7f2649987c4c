package pomelo

// Features of the full control that LimitSettings.Disabled can switch off one at a time, for comparisons.
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

// ControlFeatures returns the features that can be disabled.
func ControlFeatures() []string {
	return []string{
		FeatureSelfTime, FeatureQueue, FeatureImportance, FeatureFairness,
		FeatureRootHash, FeatureEntryShedding, FeatureRetryBudget, FeatureZoneAffinity,
	}
}
