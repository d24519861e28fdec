/**
 * The command line: one runnable jar with a subcommand for each role and operator action.
 */
package io.waxwingquay.command;
