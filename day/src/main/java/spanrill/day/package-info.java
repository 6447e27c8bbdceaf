/**
 * A day: the file that states it, and what its seed draws before it begins: the fleet's links, who comes,
 * what goes wrong, and what that would ask of the fleet. Rehearsals and the emulator play the same plan.
 */
package spanrill.day;
