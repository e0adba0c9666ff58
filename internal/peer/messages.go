package peer

import "gypsumtrestle.example/gypsumtrestle/internal/peer/message"

// Message is any message that is sent over a link.
type Message = message.Message

// Daemon identifies one incarnation of an entry daemon.
type Daemon = message.Daemon

// Leaving reports that a host accepts no new work.
type Leaving = message.Leaving

// Load reports the sender's use of all pools.
type Load = message.Load

// PoolLoad is the use of one pool by one daemon.
type PoolLoad = message.PoolLoad

// FreeSlots advertises slots of the sender's zone that other zones may use.
type FreeSlots = message.FreeSlots

// Claim requests from the owner of a key the permission to run it.
type Claim = message.Claim

// Grant is the reply to a Claim.
type Grant = message.Grant

// Report reports the outcome of a granted key to its owner.
type Report = message.Report

// Confirm reports which map version the sender routes by.
type Confirm = message.Confirm

// Shutdown announces a planned stop.
type Shutdown = message.Shutdown
