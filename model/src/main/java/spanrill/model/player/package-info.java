/**
 * A player: what it asks when, at which rung, when it loses patience, when and where it comes again. It only
 * decides; whoever drives it fetches.
 */
package spanrill.model.player;
