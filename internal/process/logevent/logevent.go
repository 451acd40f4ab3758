// Package logevent defines the messages and keys of the log lines that the processes of the system write. Messages are
// constants, so that log lines can be searched for, and each key has the same meaning in every process. docs/EVENTS.md
// explains each event to the engineer on call; a test compares the two.
//
// The package itself logs nothing: other packages pass its constants to their logr.Logger.
package logevent

// Keys of the values of a log line.
const (
	// KeyNode is the name of the machine whose process writes the line; every line has it.
	KeyNode = "node"
	// KeyBackend is the id of a backend.
	KeyBackend = "backend"
	// KeyBackends is a number of backends.
	KeyBackends = "backends"
	// KeyKnownBackends is the number of backends that may get an order, as their state is known.
	KeyKnownBackends = "known_backends"
	// KeyBusyBackends is the number of backends that are executing an order.
	KeyBusyBackends = "busy_backends"
	// KeyModel is the name of a model.
	KeyModel = "model"
	// KeyAdapter is the name of an adapter of the model.
	KeyAdapter = "adapter"
	// KeyService is the name of a service.
	KeyService = "service"
	// KeyLease is the key of a lease, such as "placement/llm".
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
	// KeyAge is how long the replaced item had been in force.
	KeyAge = "age"
	// KeyFresh is whether the state is known to be the newest.
	KeyFresh = "fresh"
	// KeyAddress is an address that the process listens on or has called.
	KeyAddress = "address"
	// KeyControlAddress is the address of control's interface for operators and backends.
	KeyControlAddress = "control_address"
	// KeySource is the process that serves a watch.
	KeySource = "source"
	// KeySeeds are the seeds of the settings file.
	KeySeeds = "seeds"
	// KeyCode is the name of a result code.
	KeyCode = "code"
	// KeyDetail gives details of a failure, or the text of a decision.
	KeyDetail = "detail"
	// KeyReason is why a view is proposed.
	KeyReason = "reason"
	// KeyMember is the address of the member that a view is proposed for; "" means none in particular.
	KeyMember = "member"
	// KeyChain is the list of addresses in the chain of a view, head first.
	KeyChain = "chain"
	// KeyMembers is the number of voting members of a view.
	KeyMembers = "members"
	// KeyRequest is the Request-Id that a client set on its request.
	KeyRequest = "request"
	// KeyAttempts is the number of attempts of a request.
	KeyAttempts = "attempts"
	// KeyResult is the outcome of an attempt or a health check.
	KeyResult = "result"
	// KeyCause is the cause under which the failure of a request is counted (docs/METRICS.md).
	KeyCause = "cause"
	// KeyVerdict is the kind of response that a client got.
	KeyVerdict = "verdict"
	// KeyDuration is how long the logged operation took.
	KeyDuration = "duration"
	// KeyRetryAfter is the time after which the client was asked to retry.
	KeyRetryAfter = "retry_after"
	// KeyLatencyTarget is the latency target of a request.
	KeyLatencyTarget = "latency_target"
	// KeyQueued is the time before a request's first attempt.
	KeyQueued = "queued"
	// KeyRetrying is the time between a request's first and last attempt.
	KeyRetrying = "retrying"
	// KeyRunning is the time of a request's last attempt.
	KeyRunning = "running"
	// KeyRate is the request rate of a model, per second.
	KeyRate = "rate"
	// KeyWork is the predicted work for a model, in ms of backend time per second.
	KeyWork = "work"
	// KeyWaiting is the number of requests that wait for a model.
	KeyWaiting = "waiting"
	// KeyReplicas is the number of backends that have loaded a model or are loading it.
	KeyReplicas = "replicas"
	// KeyLoading is the number of replicas that are still loading the model.
	KeyLoading = "loading"
	// KeyTenant is the name of a subscriber of the configuration.
	KeyTenant = "tenant"
	// KeyRefused is the number of tenants' requests that were rejected since the last line.
	KeyRefused = "refused"
	// KeyOperation is an order to a backend: load or unload.
	KeyOperation = "operation"
)

// Messages of control processes.
const (
	// ControlStarted: the process serves its peers and the operator.
	ControlStarted = "control process started"
	// ChainLeaving: the process is shutting down and asks to be removed from the chain.
	ChainLeaving = "leaving the chain"
	// ViewProposed: this member proposes a new view of the chain.
	ViewProposed = "view proposed"
	// ViewInstalled: this member has installed a newly agreed view.
	ViewInstalled = "view installed"
	// StoreOpenFailed: the store can't be opened; the process will retry.
	StoreOpenFailed = "store open failed"
	// StoreDiscarded: the store is damaged; the process starts with an empty one as a new member.
	StoreDiscarded = "store damaged and set aside"
	// StoreFailed: a write to the store failed; the store is closed and reopened.
	StoreFailed = "store write failed"
	// LeaseGrantFailed: the grant of a lease was not committed.
	LeaseGrantFailed = "lease grant failed"
)

// Messages of agents.
const (
	// AgentStarted: the process serves its proxy and its peers.
	AgentStarted = "agent started"
	// WatchSourceFailed: a source of the watch doesn't respond; the agent tries the next one.
	WatchSourceFailed = "watch source failed"
	// WatchStateFetched: the agent fetched the state from control, as the source didn't have it.
	WatchStateFetched = "state fetched from control"
	// PlacementLeaseAcquired: this node now places the models of a service.
	PlacementLeaseAcquired = "placement lease acquired"
	// PlacementLeaseLost: this node no longer places the models of a service.
	PlacementLeaseLost = "placement lease lost"
	// PlacementFenced: a backend has seen a higher fencing token; this node gives up its lease.
	PlacementFenced = "placement order fenced off"
	// PlacementStatus: the planner's view of the backends.
	PlacementStatus = "placement status"
	// PlacementModel: the planner's view of a model.
	PlacementModel = "placement of a model"
	// PlacementOrder: an order was sent to a backend.
	PlacementOrder = "placement order sent"
)

// Messages of proxies.
const (
	// ProxyStarted: the process listens for clients.
	ProxyStarted = "proxy started"
	// ProxyReady: the process has a fresh state and reports that it is ready.
	ProxyReady = "proxy ready"
	// ConfigurationApplied: the process now routes by a newer configuration.
	ConfigurationApplied = "configuration applied"
	// ProxyStopping: the process shuts down gracefully.
	ProxyStopping = "proxy stopping"
	// ServiceStartFailed: a service of the configuration can't be started.
	ServiceStartFailed = "service start failed"
	// ServiceUpdateFailed: a service keeps its previous settings.
	ServiceUpdateFailed = "service update failed"
	// Decision: a log line of the decision module.
	Decision = "decision"
	// AttemptFailed: an attempt at a backend failed.
	AttemptFailed = "attempt failed"
	// RequestFailed: a request got no response from a backend.
	RequestFailed = "request failed"
	// RequestLate: the response to a request came after its latency target.
	RequestLate = "request late"
	// RequestCancelled: a client disconnected before it got its response.
	RequestCancelled = "request cancelled by client"
	// HealthCheckFailed: a health check failed.
	HealthCheckFailed = "health check failed"
	// TenantRefused: requests of tenants are rejected because of their quotas; the line names the last such tenant.
	TenantRefused = "tenant refused"
)

// Messages of every process.
const (
	// SettingsRejected: the settings file is unreadable or invalid; the previous settings stay in force.
	SettingsRejected = "settings rejected"
	// SeedsChanged: the settings file lists other seeds, which the process now uses.
	SeedsChanged = "seeds changed"
	// MetricsFailed: the metrics server failed to start or has stopped.
	MetricsFailed = "metrics server failed"
)
