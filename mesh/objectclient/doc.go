// Package objectclient calls the platform's object API over HTTP and JSON.
package objectclient
