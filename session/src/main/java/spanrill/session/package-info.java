/**
 * The core that hosts one decision module: the life of sessions, their attempts and their tokens. It knows no
 * sockets, threads or clock; time and timers come through {@link spanrill.session.Scheduler}, so that the
 * very same classes run in a front and on a virtual clock. Viewer sides call {@link
 * spanrill.session.SessionCore}, boxes are reached through {@link spanrill.session.BoxClient}.
 */
package spanrill.session;
