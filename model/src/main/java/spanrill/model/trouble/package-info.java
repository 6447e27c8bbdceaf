/** Troubles of a day and whom they hit, worked out before the day begins. */
package spanrill.model.trouble;
