package pomelo

// Exchange is what the log says about a response on a connection to an upstream.
type Exchange struct {
	Status int
	// Connection is the connection's address at the node, and Calls the number of calls that it has carried.
	Connection string
	Calls      int
	// Unnamed marks a response that names no call.
	Unnamed bool
}
