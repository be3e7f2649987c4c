package fakekv

type operation int

const (
	opGet operation = iota
	opList
	opPut
	opGrant
	opRenew
	opRevoke
	opWatch
)

// counters counts the calls received, including failed ones.
type counters struct {
	Get    int64 `json:"get"`
	List   int64 `json:"list"`
	Put    int64 `json:"put"`
	Grant  int64 `json:"grant"`
	Renew  int64 `json:"renew"`
	Revoke int64 `json:"revoke"`
	Watch  int64 `json:"watch"`
	Total  int64 `json:"total"`
}

func (c *counters) add(op operation) {
	c.Total++
	switch op {
	case opGet:
		c.Get++
	case opList:
		c.List++
	case opPut:
		c.Put++
	case opGrant:
		c.Grant++
	case opRenew:
		c.Renew++
	case opRevoke:
		c.Revoke++
	case opWatch:
		c.Watch++
	}
}

// isWrite excludes renewals: repeating one is harmless, so dropping its response would test nothing.
func (o operation) isWrite() bool {
	return o == opPut || o == opGrant || o == opRevoke
}
