package withdrawal

// Withdrawal states that the processes of an instance that started until a time have left; it is immutable.
type Withdrawal struct {
	instance    string
	startMillis int64
}

// New returns the withdrawal of all processes of the instance that started until startMillis, in Unix milliseconds.
func New(instance string, startMillis int64) Withdrawal {
	return Withdrawal{instance: instance, startMillis: startMillis}
}

// Instance returns the identifier of the instance.
func (w Withdrawal) Instance() string { return w.instance }

// StartMillis returns the start of the last process that has left, in Unix milliseconds.
func (w Withdrawal) StartMillis() int64 { return w.startMillis }
