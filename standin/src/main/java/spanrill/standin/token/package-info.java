/** The stand-in issuer: signs session tokens and publishes the keys that they are verified by. */
package spanrill.standin.token;
