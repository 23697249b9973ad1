// Package holder bounds the memory that the large bodies of a process take together.
//
// The memory of a body is taken before the body is read and held until its last byte has left the process, or until
// nobody needs the body any more.
package holder
