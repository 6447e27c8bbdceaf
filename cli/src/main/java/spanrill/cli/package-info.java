/**
 * The command line: one class a command, and the rehearsal that starts fronts and stand-ins and judges
 * them.
 */
package spanrill.cli;
