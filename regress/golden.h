#ifndef GOLDEN_H
#define GOLDEN_H

/**
 * golden_compare() - fails the test if @text differs from golden/@name.txt.
 * With MARLHOIST_GOLDEN=write it writes the file first.
 */
void golden_compare(const char *name, const char *text);

#endif
