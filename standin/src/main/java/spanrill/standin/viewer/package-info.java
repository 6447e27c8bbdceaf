/** Stand-in viewers: real HTTP clients that ask by token, play by the MPD, leave, come again. */
package spanrill.standin.viewer;
