/** DASH requests of viewers: manifests by session token, segments relayed from the box that the module chose. */
package spanrill.front.dash;
