// Package lease decides who may send work to a backend server: the witness that gives leases and the holder that counts on them.
package lease
