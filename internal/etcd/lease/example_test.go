package lease_test

import (
	"context"
	"fmt"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/lease"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/kv"
)

// The second writer read the same state, so its write is not applied, and the
// result holds the current value.
func ExampleCASWriter_Do() {
	store := &kv.Store{}
	for _, author := range []string{"ana", "bor"} {
		res, err := lease.CASWriter{Store: store}.Do(context.Background(), etcd.Txn{
			Conds: []etcd.Cond{{Key: "/gt/text"}},
			Puts:  []etcd.Put{{Key: "/gt/text", Value: []byte("1 by " + author)}},
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(author, res.Applied)
		for _, p := range res.Else {
			fmt.Println("active:", string(p.Value))
		}
	}
	// Output:
	// ana true
	// bor false
	// active: 1 by ana
}
