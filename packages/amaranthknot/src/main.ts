/** Entry point of the binary. */
process.stdout.write('amaranthknot\n');
