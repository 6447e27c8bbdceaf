/**
 * Model of a video player: when it requests sessions and segments, at which rung, when it loses patience, and when and
 * where it retries. The player only decides; its caller performs the requests.
 */
package spanrill.model.player;
