/** Storage that survives a kill of the front: the tokens of paid sessions that may have been set up. */
package spanrill.front.store;
