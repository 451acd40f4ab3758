package gateway

import "marlreel/internal/controlplane/configuration"

// tenancy is what the configuration says of who sent a request.
type tenancy struct {
	// subscriber is the tenant whose key came with the request; nil: none.
	subscriber *configuration.Subscriber
}
