/**
 * Session tokens: JWTs (RFC 7519) signed by ES256 or HS256, verified by a JWK set (RFC 7517) that is
 * reloaded.
 */
package spanrill.front.token;
