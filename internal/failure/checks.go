package failure

import "errors"

// Checks collects the faults of a set of fields, so that all are named at once.
type Checks struct {
	faults []error
}

// Refuse records an InvalidField failure when the condition holds.
func (c *Checks) Refuse(condition bool, field, format string, arguments ...any) {
	if condition {
		c.faults = append(c.faults, Invalid(field, format, arguments...))
	}
}

// Add records the faults of a nested set of fields under a prefix.
func (c *Checks) Add(prefix string, err error) {
	for _, fault := range Faults(err) {
		nested := *fault
		nested.Field = prefix + "." + fault.Field
		c.faults = append(c.faults, &nested)
	}
}

// Err gives the faults joined, or nil.
func (c *Checks) Err() error { return errors.Join(c.faults...) }

// joined is what errors.Join makes.
type joined interface{ Unwrap() []error }

// Faults gives the failures joined in an error; one of another type counts as Internal.
func Faults(err error) []*Failure {
	if err == nil {
		return nil
	}
	if many, isJoined := err.(joined); isJoined {
		var faults []*Failure
		for _, part := range many.Unwrap() {
			faults = append(faults, Faults(part)...)
		}
		return faults
	}
	return []*Failure{From(err)}
}
