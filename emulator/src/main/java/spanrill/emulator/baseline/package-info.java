/**
 * Textbook rules behind the module's own interface, to compare with. Nothing but the emulator may use them.
 */
package spanrill.emulator.baseline;
