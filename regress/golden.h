#ifndef GOLDEN_H
#define GOLDEN_H

/**
 * golden_compare() - fails the test unless @text is what golden/@name.txt
 * holds; MARLHOIST_GOLDEN=write writes the file instead.
 */
void golden_compare(const char *name, const char *text);

#endif
