package pomelo

// Traffic counts the bytes exchanged with peers and the open connections.
type Traffic interface {
	Bytes() uint64
	Connections() int
}
