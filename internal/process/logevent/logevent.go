// Package logevent names what the processes of the system write to their logs: the message of each event and the
// keys of its values. Messages are constants, so that a line can be searched for, and a key means the same in
// every process. docs/EVENTS.md says what each event means for whoever is on call; a test compares the two.
//
// The package decides nothing and writes nothing: the packages that log pass its constants to their logr.Logger.
package logevent

// Keys of the values of a log line.
const (
	// KeyNode is the name of the machine whose process writes the line; each line has it.
	KeyNode = "node"
	// KeyBackend is a backend's id.
	KeyBackend = "backend"
	// KeyBackends is a number of backends.
	KeyBackends = "backends"
	// KeyKnownBackends is how many backends may get an order: their state is known.
	KeyKnownBackends = "known_backends"
	// KeyBusyBackends is how many backends carry out an order.
	KeyBusyBackends = "busy_backends"
	// KeyModel is a model's name.
	KeyModel = "model"
	// KeyAdapter is the name of an adapter of the model.
	KeyAdapter = "adapter"
	// KeyService is a service's name.
	KeyService = "service"
	// KeyLease is the key of a lease, as "placement/llm".
	KeyLease = "lease"
	// KeyFencingToken is the fencing token of a lease.
	KeyFencingToken = "fencing_token"
	// KeyView is the number of an agreed view of the chain.
	KeyView = "view"
	// KeyVersion is a version of the configuration.
	KeyVersion = "config_version"
	// KeyPreviousVersion is the version of the configuration that was in force before.
	KeyPreviousVersion = "previous_version"
	// KeyRevision is the revision of the replicated state: the number of its last entry.
	KeyRevision = "revision"
	// KeyAge is how long what is replaced had been in force.
	KeyAge = "age"
	// KeyFresh is whether the state is known to be the newest.
	KeyFresh = "fresh"
	// KeyAddress is an address that the process listens at, or that it called.
	KeyAddress = "address"
	// KeyControlAddress is the address of control's interface for operators and backends.
	KeyControlAddress = "control_address"
	// KeySource is the process that a watch reads from.
	KeySource = "source"
	// KeySeeds are the seeds of the settings file.
	KeySeeds = "seeds"
	// KeyCode is a result code by its name.
	KeyCode = "code"
	// KeyDetail says more of a failure, or is the text of a decision.
	KeyDetail = "detail"
	// KeyReason is why a view is proposed.
	KeyReason = "reason"
	// KeyMember is the address of the member that a view is proposed for; "": none in particular.
	KeyMember = "member"
	// KeyChain are the addresses of a view's chain, the head first.
	KeyChain = "chain"
	// KeyMembers is how many members of a view vote.
	KeyMembers = "members"
	// KeyRequest is the Request-Id that a client gave its request.
	KeyRequest = "request"
	// KeyAttempts is how many attempts a request had.
	KeyAttempts = "attempts"
	// KeyResult is the outcome of an attempt or a health check.
	KeyResult = "result"
	// KeyCause is the cause that a request's failure is counted under (docs/METRICS.md).
	KeyCause = "cause"
	// KeyVerdict is the answer that a client got.
	KeyVerdict = "verdict"
	// KeyDuration is how long the thing took.
	KeyDuration = "duration"
	// KeyRetryAfter is when the client was asked to come again.
	KeyRetryAfter = "retry_after"
	// KeyLatencyTarget is the latency target of a request.
	KeyLatencyTarget = "latency_target"
	// KeyQueued is the time before a request's first attempt.
	KeyQueued = "queued"
	// KeyRetrying is the time between a request's first and last attempt.
	KeyRetrying = "retrying"
	// KeyRunning is the time of a request's last attempt.
	KeyRunning = "running"
	// KeyRate is how many requests arrive for a model, a second.
	KeyRate = "rate"
	// KeyWork is the predicted work for a model, in ms of backends' time a second.
	KeyWork = "work"
	// KeyWaiting is how many requests wait for a model.
	KeyWaiting = "waiting"
	// KeyReplicas is how many backends have a model loaded or load it.
	KeyReplicas = "replicas"
	// KeyLoading is how many of these load it.
	KeyLoading = "loading"
	// KeyTenant is the name of a subscriber of the configuration.
	KeyTenant = "tenant"
	// KeyRefused is how many requests of tenants were refused since the last line.
	KeyRefused = "refused"
	// KeyOperation is an order to a backend: load or unload.
	KeyOperation = "operation"
)

// Messages of control processes.
const (
	// ControlStarted: the process serves its peers and the operator.
	ControlStarted = "control process started"
	// ChainLeaving: the process is shutting down and asks to be left out of the chain.
	ChainLeaving = "leaving the chain"
	// ViewProposed: this member proposes a new view of the chain.
	ViewProposed = "view proposed"
	// ViewInstalled: a newly agreed view is in force at this member.
	ViewInstalled = "view installed"
	// StoreOpenFailed: the store can't be opened; it is tried again.
	StoreOpenFailed = "store open failed"
	// StoreDiscarded: the store is damaged; the process starts anew as another member.
	StoreDiscarded = "store damaged and set aside"
	// StoreFailed: a write to the store failed; it is closed and opened again.
	StoreFailed = "store write failed"
	// LeaseGrantFailed: a grant of a lease was not committed.
	LeaseGrantFailed = "lease grant failed"
)

// Messages of agents.
const (
	// AgentStarted: the process serves its proxy and its peers.
	AgentStarted = "agent started"
	// WatchSourceFailed: a source of the watch doesn't answer; the next one is tried.
	WatchSourceFailed = "watch source failed"
	// WatchStateFetched: the state was fetched from control, as the source did not have it.
	WatchStateFetched = "state fetched from control"
	// PlacementLeaseAcquired: this node places the models of a service from now on.
	PlacementLeaseAcquired = "placement lease acquired"
	// PlacementLeaseLost: this node places the models of a service no longer.
	PlacementLeaseLost = "placement lease lost"
	// PlacementFenced: a backend has seen a higher fencing token; the lease is dropped.
	PlacementFenced = "placement order fenced off"
	// PlacementStatus: what the planner knows of the backends.
	PlacementStatus = "placement status"
	// PlacementModel: what the planner knows of a model.
	PlacementModel = "placement of a model"
	// PlacementOrder: an order was sent to a backend.
	PlacementOrder = "placement order sent"
)

// Messages of proxies.
const (
	// ProxyStarted: the process listens for clients.
	ProxyStarted = "proxy started"
	// ProxyReady: the process has a state that is fresh and answers readiness.
	ProxyReady = "proxy ready"
	// ConfigurationApplied: the process routes by a later configuration from now on.
	ConfigurationApplied = "configuration applied"
	// ProxyStopping: the process shuts down gracefully.
	ProxyStopping = "proxy stopping"
	// ServiceStartFailed: a service of the configuration can't be started.
	ServiceStartFailed = "service start failed"
	// ServiceUpdateFailed: a service keeps its previous settings.
	ServiceUpdateFailed = "service update failed"
	// Decision: a line of the decision module.
	Decision = "decision"
	// AttemptFailed: an attempt at a backend failed.
	AttemptFailed = "attempt failed"
	// RequestFailed: a request was not answered by a backend.
	RequestFailed = "request failed"
	// RequestLate: a request was answered after its latency target.
	RequestLate = "request late"
	// RequestCancelled: a client left before its answer.
	RequestCancelled = "request cancelled by client"
	// HealthCheckFailed: a health check failed.
	HealthCheckFailed = "health check failed"
	// TenantRefused: requests of tenants are refused for their quotas; the line names the last of them.
	TenantRefused = "tenant refused"
)

// Messages of every process.
const (
	// SettingsRejected: the settings file can't be used; the previous settings stay in force.
	SettingsRejected = "settings rejected"
	// SeedsChanged: the settings file names other seeds, which are used from now on.
	SeedsChanged = "seeds changed"
	// MetricsFailed: the metrics are not served, or no longer.
	MetricsFailed = "metrics server failed"
)
