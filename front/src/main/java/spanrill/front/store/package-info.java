/** What a front must still know after it was killed: the tokens of paid sessions that it may have set up. */
package spanrill.front.store;
