/**
 * Time and timers of a front that runs on a Netty loop: what the session's {@code Scheduler} is in service.
 */
package spanrill.loop;
