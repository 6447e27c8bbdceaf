/** The settings of an instance, read from the operators' names; the same for the bench's wire and for a node. */
package spanrill.setup;
