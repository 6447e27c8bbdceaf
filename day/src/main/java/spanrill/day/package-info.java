/**
 * Day files and what is derived from a day and its seed before the run: link capacities of the fleet, arrivals of
 * viewers, effects of troubles, and a forecast of demand against capacity. Rehearsals and the emulator run the same
 * plan.
 */
package spanrill.day;
