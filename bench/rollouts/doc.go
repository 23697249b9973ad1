// Package rollouts measures whether good versions are done in time and bad ones are taken back before they do harm.
package rollouts
