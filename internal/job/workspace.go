package job

// Workspace is a group of callers that share keys, a weight and a cap.
type Workspace struct {
	Name   string
	Keys   []string // accepted in the requests of its callers
	Weight float64  // share when all is full, in jobs per second; 0: no share is set
	Cap    Resources
}

// Limits returns the limits of the workspace.
func (w *Workspace) Limits() WorkspaceLimits {
	return WorkspaceLimits{Weight: w.Weight, Cap: w.Cap}
}

// WorkspaceLimits are the limits of a workspace. They are stored with a job, which goes
// on by the last known limits when its workspace is no longer configured.
type WorkspaceLimits struct {
	Weight float64 `cbor:"1,keyasint,omitempty"` // as in Workspace
	// Cap is what the workspace may have running on all runners together. A zero
	// amount means no limit on that resource.
	Cap Resources `cbor:"2,keyasint"`
}

// WorkspaceOf returns the workspace that has a key, or nil.
func (c *Config) WorkspaceOf(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}
