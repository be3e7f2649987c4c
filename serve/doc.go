// Package serve runs the calls that arrive for this node's upstream: it limits
// their concurrency, records them, sends them over loopback HTTP, and returns the
// upstream's complete answer or a refusal that says whether the call ran.
package serve
