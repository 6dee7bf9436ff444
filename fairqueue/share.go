package fairqueue

import (
	"cmp"
	"slices"
)

// usage is the virtual time of an account in its class, or of a client in its account, in seconds of
// work per unit of weight.
type usage struct {
	virtual float64
	weight  float64
	// work is the work of the entries that wait, in seconds.
	work float64
	// waiting is the number of these entries.
	waiting int
}

// clock is the virtual time of a class or an account: that of the account or client that was served last.
type clock struct{ virtual float64 }

// admit sets the virtual time of one that begins to wait: at most MaxCredit behind.
func (clk *clock) admit(usg *usage) {
	usg.virtual = max(usg.virtual, clk.virtual-MaxCredit.Seconds())
}

// charge charges served work, in seconds.
func (clk *clock) charge(usg *usage, work float64) {
	clk.virtual = max(clk.virtual, usg.virtual)
	usg.virtual += work / usg.weight
}

// isCurrent reports whether the virtual time of one that doesn't wait has to be kept: without it, the
// account or client would start with the largest credit.
func (clk *clock) isCurrent(usg *usage) bool {
	return usg.virtual > clk.virtual-MaxCredit.Seconds()
}

// aheadOf returns the work that is served before another account or client of the same clock reaches a
// virtual time.
func (usg *usage) aheadOf(virtual float64) float64 {
	return min(usg.work, max(0, (virtual-usg.virtual)*usg.weight))
}

// class holds the entries of one class.
type class[V any] struct {
	Class
	clock
	// waiting is the number of all entries.
	waiting  int
	accounts map[string]*account[V]
	// active are the accounts with entries, by virtual time. The entries that are first aren't counted
	// there: first holds them in the order of their arrival, firstWork is their work in seconds.
	active    []*account[V]
	first     []*Entry[V]
	firstWork float64
}

// account holds the entries of a client account in a class.
type account[V any] struct {
	usage
	clock   clock
	class   *class[V]
	name    string
	clients map[uint64]*client[V]
	// active are the clients with entries, by virtual time.
	active []*client[V]
}

// client holds the entries of one client of an account in a class.
type client[V any] struct {
	usage
	account *account[V]
	key     uint64
	// entries wait in this order; the first front of them are those in front.
	entries []*Entry[V]
	front   int
	// visited is the number of entries that the walk with the number walk has visited.
	visited int
	walk    uint64
}

func newClass[V any](key Class) *class[V] {
	return &class[V]{Class: key, accounts: make(map[string]*account[V])}
}

// account returns the account with this name, creating it if necessary.
func (cls *class[V]) account(name string) *account[V] {
	acc := cls.accounts[name]
	if acc == nil {
		cls.prune()
		acc = &account[V]{class: cls, name: name, clients: make(map[uint64]*client[V])}
		acc.weight = 1
		cls.accounts[name] = acc
	}
	return acc
}

// client returns the client with this key, creating it if necessary.
func (acc *account[V]) client(key uint64) *client[V] {
	cli := acc.clients[key]
	if cli == nil {
		acc.prune()
		cli = &client[V]{account: acc, key: key}
		cli.weight = 1
		acc.clients[key] = cli
	}
	return cli
}

// Accounts or clients are looked through for ones to drop once there are pruneAt of them, and
// idlePerActive more for each with entries.
const (
	pruneAt       = 64
	idlePerActive = 2
)

// prune drops the accounts whose virtual time carries no information.
func (cls *class[V]) prune() {
	if len(cls.accounts) < pruneAt+idlePerActive*len(cls.active) {
		return
	}
	for name, acc := range cls.accounts {
		if acc.waiting == 0 && !cls.isCurrent(&acc.usage) {
			delete(cls.accounts, name)
		}
	}
}

// prune drops the clients whose virtual time carries no information.
func (acc *account[V]) prune() {
	if len(acc.clients) < pruneAt+idlePerActive*len(acc.active) {
		return
	}
	for key, cli := range acc.clients {
		if cli.waiting == 0 && !acc.clock.isCurrent(&cli.usage) {
			delete(acc.clients, key)
		}
	}
}

// add adds an entry behind those of its client.
func (cls *class[V]) add(ent *Entry[V]) {
	acc := cls.account(ent.Account)
	cli := acc.client(ent.Client)
	ent.client = cli
	acc.weight = ent.weight()
	cls.waiting++
	if ent.First {
		cls.first = append(cls.first, ent)
		cls.firstWork += ent.Work.Seconds()
		return
	}
	if acc.waiting == 0 {
		cls.admit(&acc.usage)
		insertByTime(&cls.active, acc)
	}
	if cli.waiting == 0 {
		acc.clock.admit(&cli.usage)
		insertByTime(&acc.active, cli)
	}
	cli.add(ent)
	work := ent.Work.Seconds()
	acc.count(work, 1)
	cli.count(work, 1)
}

func (usg *usage) count(work float64, entries int) {
	usg.work = max(0, usg.work+work)
	usg.waiting += entries
}

func (cli *client[V]) add(ent *Entry[V]) {
	if !ent.Front {
		cli.entries = append(cli.entries, ent)
		return
	}
	cli.entries = slices.Insert(cli.entries, cli.front, ent)
	cli.front++
}

// remove removes an entry.
func (cls *class[V]) remove(ent *Entry[V]) {
	cls.waiting--
	if ent.First {
		cls.first = deleteEntry(cls.first, ent)
		cls.firstWork = max(0, cls.firstWork-ent.Work.Seconds())
		return
	}
	cli := ent.client
	acc := cli.account
	pos := slices.Index(cli.entries, ent)
	cli.entries = slices.Delete(cli.entries, pos, pos+1)
	if pos < cli.front {
		cli.front--
	}
	if pos < cli.visited {
		cli.visited--
	}
	work := -ent.Work.Seconds()
	acc.count(work, -1)
	cli.count(work, -1)
	if cli.waiting == 0 {
		acc.active = deleteItem(acc.active, cli)
	}
	if acc.waiting == 0 {
		cls.active = deleteItem(cls.active, acc)
	}
}

func deleteEntry[V any](entries []*Entry[V], ent *Entry[V]) []*Entry[V] {
	pos := slices.Index(entries, ent)
	return slices.Delete(entries, pos, pos+1)
}

// charge charges an entry that is served.
func (cls *class[V]) charge(ent *Entry[V], work float64) {
	cli := ent.client
	acc := cli.account
	cls.clock.charge(&acc.usage, work)
	acc.clock.charge(&cli.usage, work)
	sortAgain(cls.active, acc)
	sortAgain(acc.active, cli)
}

// chargeElsewhere charges work that didn't wait in this queue.
func (cls *class[V]) chargeElsewhere(shr Share, work float64) {
	acc := cls.account(shr.Account)
	cli := acc.client(shr.Client)
	acc.weight = shr.weight()
	cls.admit(&acc.usage)
	acc.clock.admit(&cli.usage)
	cls.clock.charge(&acc.usage, work)
	acc.clock.charge(&cli.usage, work)
	sortAgain(cls.active, acc)
	sortAgain(acc.active, cli)
}

// correct adjusts an earlier charge. An account or a client that was dropped since needs none.
func (cls *class[V]) correct(shr Share, work float64) {
	acc := cls.accounts[shr.Account]
	if acc == nil {
		return
	}
	acc.virtual += work / acc.weight
	sortAgain(cls.active, acc)
	if cli := acc.clients[shr.Client]; cli != nil {
		cli.virtual += work / cli.weight
		sortAgain(acc.active, cli)
	}
}

// walk visits the entries of the class and reports whether a visit returned Stop.
func (cls *class[V]) walk(que *Queue[V], visit func(V) Verdict) bool {
	for idx := 0; idx < len(cls.first); {
		ent := cls.first[idx]
		switch visit(ent.Value) {
		case Keep:
			idx++
		case Serve:
			cls.charge(ent, ent.Work.Seconds())
			que.remove(ent)
		case Drop:
			que.remove(ent)
		case Stop:
			return true
		}
	}
	for idx := 0; idx < len(cls.active); {
		ent := cls.active[idx].next(que.walk)
		if ent == nil {
			idx++
			continue
		}
		switch visit(ent.Value) {
		case Keep:
		case Serve:
			cls.charge(ent, ent.Work.Seconds())
			que.remove(ent)
		case Drop:
			que.remove(ent)
		case Stop:
			return true
		}
	}
	return false
}

// next returns the account's next entry that the walk hasn't visited, nil for none.
func (acc *account[V]) next(walk uint64) *Entry[V] {
	for _, cli := range acc.active {
		if cli.walk != walk {
			cli.walk, cli.visited = walk, 0
		}
		if cli.visited < len(cli.entries) {
			cli.visited++
			return cli.entries[cli.visited-1]
		}
	}
	return nil
}

// ahead returns the work of the class that is served before a new entry, in seconds.
func (cls *class[V]) ahead(ent Entry[V]) float64 {
	start := cls.virtual - MaxCredit.Seconds()
	own := 0.0
	acc := cls.accounts[ent.Account]
	if acc != nil {
		start = max(start, acc.virtual)
		own = acc.ahead(ent)
	}
	reached := start + (own+ent.Work.Seconds())/ent.weight()
	if ent.First {
		return cls.firstWork
	}
	ahead := own + cls.firstWork
	for _, other := range cls.active {
		if other != acc {
			ahead += other.aheadOf(reached)
		}
	}
	return ahead
}

// ahead returns the account's own work that is served before a new entry, in seconds.
func (acc *account[V]) ahead(ent Entry[V]) float64 {
	start := acc.clock.virtual - MaxCredit.Seconds()
	own := 0.0
	cli := acc.clients[ent.Client]
	if cli != nil {
		start = max(start, cli.virtual)
		own = cli.work
		if ent.Front {
			own = 0
		}
	}
	reached := start + own + ent.Work.Seconds()
	ahead := own
	for _, other := range acc.active {
		if other != cli {
			ahead += other.aheadOf(reached)
		}
	}
	return ahead
}

// timed is an account or a client.
type timed interface {
	comparable
	virtualTime() float64
}

func (usg *usage) virtualTime() float64 { return usg.virtual }

// insertByTime inserts an item behind those with the same virtual time.
func insertByTime[T timed](items *[]T, item T) {
	pos, _ := slices.BinarySearchFunc(*items, item.virtualTime(), func(other T, virtual float64) int {
		return cmp.Or(cmp.Compare(other.virtualTime(), virtual), -1)
	})
	*items = slices.Insert(*items, pos, item)
}

// deleteItem deletes an item from a list.
func deleteItem[T timed](items []T, item T) []T {
	pos := slices.Index(items, item)
	return slices.Delete(items, pos, pos+1)
}

// sortAgain moves an item whose virtual time has changed to its place. It does nothing for an item
// that isn't in the list.
func sortAgain[T timed](items []T, item T) {
	pos := slices.Index(items, item)
	if pos < 0 {
		return
	}
	for pos+1 < len(items) && items[pos+1].virtualTime() <= item.virtualTime() {
		items[pos], items[pos+1] = items[pos+1], items[pos]
		pos++
	}
	for pos > 0 && items[pos-1].virtualTime() > item.virtualTime() {
		items[pos], items[pos-1] = items[pos-1], items[pos]
		pos--
	}
}
