/*
 * Print, HTML: a page with tables, and an SVG plot with one bar for the burn of each class over
 * each window. Names come from operators and are escaped.
 */
#include "fescue_report/print.h"

/* Dimensions of the plot in pixels. */
#define BAR_LEFT       260
#define BAR_WIDTH      480
#define BAR_HEIGHT     10
#define ROW_HEIGHT     30
#define AXIS_HEIGHT    30
#define BURN_SHOWN_MAX 4.0 /* bars of a higher burn end here; the number beside them is exact */

static const char *const window_colours[SUM_WINDOWS] = {"#c2571a", "#2f6f9f"};

static const char head[] =
	"<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>"
	"<style>body{font:15px sans-serif;margin:2em;max-width:75em;color:#222}"
	"table{border-collapse:collapse;margin-bottom:1.5em}td,th{padding:.25em "
	".7em;text-align:right;"
	"border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}"
	"th[colspan]{text-align:center;border-left:1px solid #ddd}"
	".over{color:#b00020;font-weight:bold}</style><h1>Service-level burn</h1>";

/* Writes a character, escaped if it is special in HTML. */
static void write_escaped_char(FILE *out, char c)
{
	switch (c) {
	case '<':
		fputs("&lt;", out);
		break;
	case '>':
		fputs("&gt;", out);
		break;
	case '&':
		fputs("&amp;", out);
		break;
	case '"':
		fputs("&quot;", out);
		break;
	default:
		fputc(c, out);
		break;
	}
}

/* Writes text, escaped for HTML. */
static void write_escaped(FILE *out, const char *text)
{
	for (; *text; text++)
		write_escaped_char(out, *text);
}

/* Writes the names of the service and the class, escaped. */
static void write_name(FILE *out, const struct sum_class *cls)
{
	write_escaped(out, cls->service);
	fputs(" / ", out);
	write_escaped(out, cls->class_name);
}

/* Writes a bar and the burn beside it. */
static void write_bar(FILE *out, double burn, uint32_t y, const char *colour)
{
	double shown = burn < BURN_SHOWN_MAX ? burn : BURN_SHOWN_MAX;
	double width = shown / BURN_SHOWN_MAX * BAR_WIDTH;

	fprintf(out,
		"<rect x=\"%d\" y=\"%u\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>"
		"<text x=\"%.1f\" y=\"%u\" font-size=\"11\">%.2f</text>",
		BAR_LEFT, y, width, BAR_HEIGHT, colour, BAR_LEFT + width + 5, y + BAR_HEIGHT - 1,
		burn);
}

/* Writes the line that marks a burn of 1: the class uses up its budget exactly. */
static void write_budget_line(FILE *out, uint32_t height)
{
	double x = BAR_LEFT + BAR_WIDTH / BURN_SHOWN_MAX;

	fprintf(out,
		"<line x1=\"%.1f\" y1=\"20\" x2=\"%.1f\" y2=\"%u\" stroke=\"#888\" "
		"stroke-dasharray=\"4 3\"/><text x=\"%.1f\" y=\"14\" font-size=\"11\" "
		"text-anchor=\"middle\">burn 1: the budget is used up</text>",
		x, x, height, x);
}

/* Writes the plot of the burn of all classes. */
static void write_plot(FILE *out, const struct sum *sum)
{
	uint32_t height = AXIS_HEIGHT + sum->count * ROW_HEIGHT;

	fprintf(out, "<svg width=\"%d\" height=\"%u\" font-family=\"sans-serif\">",
		BAR_LEFT + BAR_WIDTH + 60, height);
	for (uint32_t i = 0; i < sum->count; i++) {
		const struct sum_class *cls = &sum->classes[i];
		uint32_t y = AXIS_HEIGHT + i * ROW_HEIGHT;

		fprintf(out, "<text x=\"%d\" y=\"%u\" font-size=\"13\" text-anchor=\"end\">",
			BAR_LEFT - 8, y + 14);
		write_name(out, cls);
		fputs("</text>", out);
		for (uint32_t w = 0; w < SUM_WINDOWS; w++)
			write_bar(out, sum_compute_rates(cls, &cls->windows[w]).burn,
				  y + w * (BAR_HEIGHT + 2), window_colours[w]);
	}
	write_budget_line(out, height);
	fputs("</svg>", out);
}

/* Writes the legend of the plot. */
static void write_legend(FILE *out, const struct sum *sum)
{
	if (sum->count == 0) {
		fputs("<p>No node has taken a call yet.</p>", out);
		return;
	}
	fprintf(out,
		"<p>Burn rate by class over the last <b style=\"color:%s\">%u s</b> and "
		"<b style=\"color:%s\">%u s</b>. Bars end at %.0f; the number tells the rest.</p>",
		window_colours[0], sum->classes[0].windows[0].seconds, window_colours[1],
		sum->classes[0].windows[1].seconds, BURN_SHOWN_MAX);
}

/* Writes the table row of a class and a window. */
static void write_row(FILE *out, const struct sum_class *cls, const struct sum_window *window)
{
	struct sum_rates rates = sum_compute_rates(cls, window);

	fputs("<tr><td>", out);
	write_name(out, cls);
	fprintf(out,
		"<td>%u<td>%u s<td>%.0f ms for %.1f%%<td>%.0f<td>%.1f<td>%.3f%%"
		"<td class=\"%s\">%.2f<td>%.2f<td>%.2f%%<td>%.2f%%",
		cls->rank, window->seconds, cls->latency_ms, cls->percentile, cls->calls_per_s,
		rates.offered_per_s, rates.achieved_percent, rates.burn > 1 ? "over" : "within",
		rates.burn, rates.budget_left, rates.kept_percent, rates.excess_percent);
}

/* Writes the table of targets. */
static void write_table(FILE *out, const struct sum *sum)
{
	fputs("<h2>Targets</h2><table><tr><th>class<th>rank<th>window<th>target<th>stated/"
	      "s<th>offered/s"
	      "<th>achieved<th>burn<th>budget left<th>kept<th>above stated",
	      out);
	for (uint32_t i = 0; i < sum->count; i++) {
		for (uint32_t w = 0; w < SUM_WINDOWS; w++)
			write_row(out, &sum->classes[i], &sum->classes[i].windows[w]);
	}
	fputs("</table>", out);
}

/* Writes the table cells of attempts. Without any attempt, the shares are "-". */
static void write_shares(FILE *out, const struct sum_attempts *attempts, uint64_t counted_s)
{
	struct sum_shares shares = sum_compute_shares(attempts, counted_s);

	if (shares.offered_per_s <= 0) {
		fputs("<td>0.0<td>-<td>-<td>-", out);
		return;
	}
	fprintf(out, "<td>%.1f<td>%.2f%%<td>%.2f%%<td>%.2f%%", shares.offered_per_s,
		shares.answered_percent, shares.late_percent, shares.refused_percent);
}

/* Writes the table of the attempts that the gates were offered, by profile. */
static void write_profiles(FILE *out, const struct sum *sum)
{
	fputs("<h2>In profile and out of it</h2><p>Attempts at the gates; a call that is tried "
	      "again counts again.</p><table><tr><th rowspan=\"2\">class<th rowspan=\"2\">window"
	      "<th colspan=\"4\">in profile<th colspan=\"4\">out of profile<tr><th>offered/s"
	      "<th>answered<th>late<th>refused<th>offered/s<th>answered<th>late<th>refused",
	      out);
	for (uint32_t i = 0; i < sum->count; i++) {
		for (uint32_t w = 0; w < SUM_WINDOWS; w++) {
			const struct sum_window *window = &sum->classes[i].windows[w];

			fputs("<tr><td>", out);
			write_name(out, &sum->classes[i]);
			fprintf(out, "<td>%u s", window->seconds);
			write_shares(out, &window->in_profile, window->counted_s);
			write_shares(out, &window->out_of_profile, window->counted_s);
		}
	}
	fputs("</table>", out);
}

/*
 * Writes the share of calls that were answered, for the classes offered above their stated rate and
 * for all others.
 */
static void write_kept(FILE *out, const struct sum *sum)
{
	fputs("<h2>What was kept</h2><table><tr><th>window<th>classes offered above what is "
	      "stated<th>they kept"
	      "<th>other classes<th>they kept",
	      out);
	for (int w = 0; w < SUM_WINDOWS; w++) {
		struct sum_kept flooded = sum_compute_kept(sum, w, true);
		struct sum_kept others = sum_compute_kept(sum, w, false);

		fprintf(out, "<tr><td>%u s<td>%u<td>", sum->classes[0].windows[w].seconds,
			flooded.classes);
		if (flooded.classes)
			fprintf(out, "%.2f%% of %.1f/s", flooded.kept_percent,
				flooded.offered_per_s);
		fprintf(out, "<td>%u<td>%.2f%% of %.1f/s", others.classes, others.kept_percent,
			others.offered_per_s);
	}
	fputs("</table>", out);
}

/* Writes the nodes without a usable report. */
static void write_missing(FILE *out, const struct print_input *input)
{
	char text[PRINT_ENDPOINT_BYTES];

	for (uint32_t i = 0; i < input->missing_count; i++) {
		print_format_endpoint(text, &input->missing[i].node);
		fprintf(out, "<p class=\"over\">Missing: %s: %s: ", text, input->missing[i].kind);
		write_escaped(out, input->missing[i].detail);
		fputs("</p>", out);
	}
}

/* Prints the report as one self-contained HTML page. */
void print_html(FILE *out, const struct print_input *input)
{
	char caveat[PRINT_CAVEAT_BYTES];

	print_format_caveat(caveat, input);
	fputs(head, out);
	write_missing(out, input);
	write_legend(out, input->sum);
	if (input->sum->count > 0) {
		write_plot(out, input->sum);
		write_kept(out, input->sum);
		write_table(out, input->sum);
		write_profiles(out, input->sum);
	}
	fprintf(out, "<p>%s</p></html>\n", caveat);
}
