/**
 * The core that hosts one decision module: the lifecycle of sessions, their attempts and their tokens. It uses no
 * sockets, threads or system clock. Time and timers come from {@link spanrill.session.Scheduler}, so the same classes
 * run in a front and in virtual time. Viewer sides call {@link spanrill.session.SessionCore}; the core reaches boxes
 * through {@link spanrill.session.BoxClient}.
 */
package spanrill.session;
