// Package judge decides by sequential probability ratio tests whether a new version is worse than the old one.
//
// Failures of the two versions in one stratum (route, region of the endpoint, region of the caller) over the same
// period are Poisson counts. Given their sum, the new version's part is binomial at any common rate, so a
// fault of both versions cancels out. Each window adds the log-likelihood ratio of "new has ratio times the old rate"
// against "new has the old rate", with the tolerated rate added to the old one. Under each hypothesis the exponential
// of the sum (or of its negative) has an expectation of at most one, which bounds the error rates by Ville's
// inequality.
package judge
