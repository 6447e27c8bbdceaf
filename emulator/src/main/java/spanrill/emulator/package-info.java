/**
 * A day in virtual time: the core that serves viewers ({@code spanrill.session}), once for each front, among
 * emulated boxes, links, lists and viewers of the {@code model}. Discrete events on one agenda; the same day,
 * seed and program give the same records, which the same checker judges.
 */
package spanrill.emulator;
