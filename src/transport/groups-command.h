/* The command `martenmount groups`: lists the owners of the machine groups and moves a group to
 * another node. */
#pragma once

/* Runs the command. `argv` starts with "groups". Returns the exit status. */
int mm_groups_command(int argc, char **argv);
