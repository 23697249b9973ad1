// Package service holds the definition of one service with its routes.
package service
