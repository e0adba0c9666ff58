package quota

import (
	"cmp"
	"slices"
)

// Ledger holds the accounts of the workspaces with jobs or runs. Its zero value is
// empty.
type Ledger struct {
	accounts map[string]*Account
}

// Open returns the account of a workspace for one more job, or nil if the name is empty.
func (l *Ledger) Open(name string) *Account {
	if name == "" {
		return nil
	}
	a := l.accounts[name]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[string]*Account)
		}
		a = &Account{Name: name}
		l.accounts[name] = a
	}
	a.jobs++
	return a
}

// Find returns the account of a workspace, or nil if no job or run has opened it.
func (l *Ledger) Find(name string) *Account { return l.accounts[name] }

// Release records that a job which opened an account is no longer in the state. The
// account is dropped with its last job and its last run; see Sweep.
func (l *Ledger) Release(a *Account) {
	if a != nil {
		a.jobs--
	}
}

// Sweep drops the accounts without jobs and runs.
func (l *Ledger) Sweep() {
	for name, a := range l.accounts {
		if a.jobs == 0 && a.runs == 0 {
			delete(l.accounts, name)
		}
	}
}

// Has reports whether a workspace has an account.
func (l *Ledger) Has(workspace string) bool { return l.accounts[workspace] != nil }

// Empty reports whether there are no accounts.
func (l *Ledger) Empty() bool { return len(l.accounts) == 0 }

// Accounts returns the accounts, those closest to their cap first.
func (l *Ledger) Accounts() []*Account {
	as := make([]*Account, 0, len(l.accounts))
	for _, a := range l.accounts {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *Account) int {
		return cmp.Or(cmp.Compare(b.level(), a.level()), cmp.Compare(a.Name, b.Name))
	})
	return as
}

// Held returns how many workspaces have waiting work that the cap keeps from starting.
func (l *Ledger) Held() int {
	n := 0
	for _, a := range l.accounts {
		if a.Held() {
			n++
		}
	}
	return n
}

// SetPrevious replaces the bounds for unknown runs of previous leaders.
func (l *Ledger) SetPrevious(p *Previous) {
	for _, a := range l.accounts {
		a.previous = p.Of(a)
	}
}

// SetDemand replaces the waiting work of all workspaces, of which those that are not
// named have none.
func (l *Ledger) SetDemand(byAccount map[*Account]*Demand) {
	for _, a := range l.accounts {
		if d := byAccount[a]; d != nil {
			a.setDemand(*d)
		} else {
			a.demand = Demand{}
		}
	}
}

// level returns which share of the cap is used, of the resource of which it is highest.
func (a *Account) level() float64 {
	c, share := a.counted(), 0.0
	for _, x := range [...][2]int{{c.CPU, a.limit.CPU}, {c.Mem, a.limit.Mem}, {c.GPU, a.limit.GPU}} {
		if x[1] > 0 {
			share = max(share, float64(x[0])/float64(x[1]))
		}
	}
	return share
}
