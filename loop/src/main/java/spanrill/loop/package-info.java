/** Clock and timers of a front that runs on a Netty event loop: its implementation of the session's scheduler. */
package spanrill.loop;
