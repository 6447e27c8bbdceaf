/** Who comes when, and for which title. */
package spanrill.model.crowd;
