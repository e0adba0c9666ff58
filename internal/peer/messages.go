package peer

import "gypsumtrestle.example/gypsumtrestle/internal/peer/message"

// Message is any message that a link carries.
type Message = message.Message

// Daemon identifies one incarnation of an entry daemon.
type Daemon = message.Daemon

// Leaving tells that a host takes no new work.
type Leaving = message.Leaving

// Load reports the sender's use of all pools.
type Load = message.Load

// PoolLoad is one pool's use by one daemon.
type PoolLoad = message.PoolLoad

// FreeSlots reports slots of the sender's zone that other zones may use.
type FreeSlots = message.FreeSlots

// Claim asks the home of a key for the right to run it.
type Claim = message.Claim

// Grant answers a Claim.
type Grant = message.Grant

// Report tells the home how a granted key ended.
type Report = message.Report

// Confirm tells which map the sender routes by.
type Confirm = message.Confirm

// Shutdown announces a planned stop.
type Shutdown = message.Shutdown
