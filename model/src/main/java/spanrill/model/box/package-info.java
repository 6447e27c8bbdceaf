/** What a box does with set-ups: whom it takes, whom it turns away, when it falls over; pure. */
package spanrill.model.box;
