/** Session tokens: JWTs (RFC 7519) signed with ES256 or HS256, verified with a reloadable JWK set (RFC 7517). */
package spanrill.front.token;
