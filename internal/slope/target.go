package slope

// The target size.
const (
	targetNodes    = 1000
	targetZones    = 11
	targetReplicas = 4000
	targetModels   = 970
	targetAdapters = 5600
	// targetZoneNodes is the number of nodes of a zone.
	targetZoneNodes = 91
	// patches are the changes of configuration on a day.
	patches = 4100
)

// Budgets of a node and of the KV service.
const (
	nodeBytesPerSecond = 11_000
	nodeMemoryBytes    = 64 << 20
	nodeCorePercent    = 2.2
	kvReads            = 2000
	kvWrites           = 300
)
