/*
 * The four measures of docs/design.md for both example deployments: buffer
 * cost (spare instances needed), roll-out time, instance moves, and isolation
 * of other members during a flood. The real decision plug-ins run in virtual
 * time, and all variants get the same requests.
 *
 * Usage: bench-measure [FILE], the data for gnuplot; measure.dat by default.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/klog.h"
#include "measure/site.h"

/* Mean load in percent of the pool's capacity; a burst exceeds 100 %. */
#define MEAN_PERCENT 28
#define BURST_FACTOR 5
#define QUIET_DIVISOR 20
#define BURST_US (6 * USEC_PER_SEC)
#define WARM_UP_US (10 * USEC_PER_SEC)
#define ROTATIONS_COUNT 2
#define SPARE_MAX_COUNT 8u /* as in the current deployments */
#define SPARE_STEP_COUNT 2u
#define SPARE_STEPS_COUNT (SPARE_MAX_COUNT / SPARE_STEP_COUNT + 1)
#define SEEDS_COUNT 2
#define FLOOD_US (20 * USEC_PER_SEC)
#define MOVES_ROTATIONS_COUNT 10
#define SUSTAINED_FACTOR 4.5 /* times the mean: exceeds the pool's capacity */
#define SUSTAINED_US (300 * USEC_PER_SEC)
#define WAVE_PARALLEL_COUNT 4
#define WAVE_LIMIT_US (INT64_C(12) * 3600 * USEC_PER_SEC)

static const struct deployment deployments[] = {
	{ "Andino", "examples/andino.yaml", 7 },
	{ "Mreja", "examples/mreja.yaml", 6 },
};

static const struct variant ours = { .name = "ours",
				     .lending = LENDING_DECLARED };
/* Only the spare pool lends idle slots. */
static const struct variant ours_spare = { .name = "ours, spare lends",
					   .lending = LENDING_SPARE };
static const struct variant baseline = {
	.name = "baseline",
	.moves = "greedy",
	.waves = "serial",
	.admission = "fifo",
	.choice = "round_robin",
	.retry = "none",
};
static const struct variant static_pools = {
	.name = "static pools",
	.moves = "none",
	.waves = "serial",
	.admission = "fifo",
	.choice = "round_robin",
	.retry = "none",
};
/* Differs from `ours` in the moves policy only, to show its effect. */
static const struct variant ours_greedy = {
	.name = "ours, greedy moves",
	.moves = "greedy",
	.lending = LENDING_DECLARED,
};

static FILE *data;
static uint32_t violation_count;

static struct site *open_site(const struct deployment *deployment,
			      const struct variant *variant,
			      uint32_t spare_count, uint32_t seed)
{
	struct site *site = site_new(deployment, variant, spare_count, seed);

	if (!site)
		exit(EXIT_FAILURE);
	return site;
}

static void close_site(struct site *site)
{
	if (site->world->violation_count)
		fprintf(stderr, "%s", site->world->output->str);
	violation_count += site->world->violation_count;
	site_free(site);
}

static double mean_rate(const struct site *site, const struct stream *stream)
{
	return site_capacity(site, stream->queue) * MEAN_PERCENT / 100 *
	       stream->share;
}

/* Runs each stream at its mean rate times the factor of its queue. */
static void run_factors(struct site *site, const double *factors,
			int64_t duration_us)
{
	double *rates = g_new0(double, site->streams->len);

	for (guint i = 0; i < site->streams->len; i++) {
		const struct stream *stream = site->streams->pdata[i];

		rates[i] = mean_rate(site, stream) * factors[stream->queue];
	}
	site_run(site, rates, duration_us);
	g_free(rates);
}

static void run_uniform(struct site *site, double factor, int64_t duration_us)
{
	double *factors = g_new0(double, site->queues->len);

	for (guint i = 0; i < site->queues->len; i++)
		factors[i] = factor;
	run_factors(site, factors, duration_us);
	g_free(factors);
}

/* Gives each queue a burst in turn, while the others are nearly idle. */
static void run_bursts_in_turn(struct site *site, uint32_t rotation_count)
{
	double *factors = g_new0(double, site->queues->len);

	for (uint32_t i = 0; i < rotation_count * site->queues->len; i++) {
		for (guint k = 0; k < site->queues->len; k++)
			factors[k] = k == i % site->queues->len
					     ? BURST_FACTOR
					     : 1.0 / QUIET_DIVISOR;
		run_factors(site, factors, BURST_US);
	}
	g_free(factors);
}

static double in_time_percent(const struct tally *tally)
{
	return tally->sent_count ? 100.0 * (double)tally->in_time_count /
					   (double)tally->sent_count
				 : 100;
}

/* Sums up the urgent requests of all members except `without` (or NULL). */
static struct tally urgent_tally(const struct site *site, const char *without)
{
	struct tally sum = { 0 };

	for (guint i = 0; i < site->streams->len; i++) {
		const struct stream *stream = site->streams->pdata[i];

		if (stream->service->urgency != URGENCY_URGENT ||
		    (without && !strcmp(stream->service->member, without)))
			continue;
		sum.sent_count += stream->tally.sent_count;
		sum.in_time_count += stream->tally.in_time_count;
	}
	return sum;
}

/* Percentage of urgent requests answered in time during bursts in turn. */
static double urgent_in_time_percent(const struct deployment *deployment,
				     const struct variant *variant,
				     uint32_t spare_count)
{
	struct tally sum = { 0 };

	for (uint32_t seed = 1; seed <= SEEDS_COUNT; seed++) {
		struct site *site =
			open_site(deployment, variant, spare_count, seed);
		struct tally tally;

		run_uniform(site, 1, WARM_UP_US);
		site_reset_tallies(site);
		run_bursts_in_turn(site, ROTATIONS_COUNT);
		run_uniform(site, 0, 2 * USEC_PER_SEC); /* the last replies */
		tally = urgent_tally(site, NULL);
		sum.sent_count += tally.sent_count;
		sum.in_time_count += tally.in_time_count;
		close_site(site);
	}
	return in_time_percent(&sum);
}

/* The smallest measured spare count that reaches a percentage, or "more". */
static const char *needed_spare(const double *percents, double wanted)
{
	static char text[16];

	for (uint32_t i = 0; i < SPARE_STEPS_COUNT; i++) {
		if (percents[i] < wanted)
			continue;
		g_snprintf(text, sizeof(text), "%u", i * SPARE_STEP_COUNT);
		return text;
	}
	return "more";
}

static void measure_buffer(const struct deployment *deployment)
{
	const struct variant *const variants[] = { &ours, &ours_spare,
						   &baseline, &static_pools };
	double percents[G_N_ELEMENTS(variants)][SPARE_STEPS_COUNT];

	fprintf(data, "# %s: urgent requests in time by spare instances\n",
		deployment->name);
	fprintf(data, "# spare");
	for (uint32_t i = 0; i < G_N_ELEMENTS(variants); i++)
		fprintf(data, " \"%s\"", variants[i]->name);
	for (uint32_t step = 0; step < SPARE_STEPS_COUNT; step++) {
		fprintf(data, "\n%u", step * SPARE_STEP_COUNT);
		for (uint32_t i = 0; i < G_N_ELEMENTS(variants); i++) {
			percents[i][step] =
				urgent_in_time_percent(deployment, variants[i],
						       step * SPARE_STEP_COUNT);
			fprintf(data, " %.3f", percents[i][step]);
		}
	}
	fprintf(data, "\n\n\n");
	for (uint32_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		printf("%-8s buffer    %-20s urgent in time %6.2f %% with 0 "
		       "spare instances, %6.2f %% with %u; ",
		       deployment->name, variants[i]->name, percents[i][0],
		       percents[i][SPARE_STEPS_COUNT - 1], SPARE_MAX_COUNT);
		printf("%s needed for the baseline's protection with %u, ",
		       needed_spare(percents[i],
				    percents[2][SPARE_STEPS_COUNT - 1]),
		       SPARE_MAX_COUNT);
		printf("%s for 99 %%\n", needed_spare(percents[i], 99));
	}
}

/*
 * Tallies the urgent requests of all members but the first stream's, which may
 * flood its queue.
 */
static struct tally tally_flood(const struct deployment *deployment,
				const struct variant *variant, uint32_t seed,
				bool with_flood)
{
	struct site *site =
		open_site(deployment, variant, SPARE_MAX_COUNT, seed);
	const struct stream *first = site->streams->pdata[0];
	double *rates = g_new0(double, site->streams->len);
	double flooding_share = 0;
	struct tally tally;

	for (guint i = 0; i < site->streams->len; i++) {
		const struct stream *stream = site->streams->pdata[i];

		if (stream->queue == first->queue &&
		    !strcmp(stream->service->member, first->service->member))
			flooding_share += stream->share;
	}
	for (guint i = 0; i < site->streams->len; i++) {
		const struct stream *stream = site->streams->pdata[i];

		rates[i] = mean_rate(site, stream);
		if (with_flood && stream->queue == first->queue &&
		    !strcmp(stream->service->member, first->service->member))
			rates[i] *= 1 + (BURST_FACTOR - 1) / flooding_share;
	}
	run_uniform(site, 1, WARM_UP_US);
	site_reset_tallies(site);
	site_run(site, rates, FLOOD_US);
	run_uniform(site, 0, 2 * USEC_PER_SEC); /* the last replies */
	tally = urgent_tally(site, first->service->member);
	g_free(rates);
	close_site(site);
	return tally;
}

static void measure_flood(const struct deployment *deployment)
{
	const struct variant *const variants[] = { &ours, &baseline,
						   &static_pools };

	fprintf(data,
		"# %s: urgent requests of the other members in time, without "
		"and with a flood, in percent\n",
		deployment->name);
	for (uint32_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		struct tally without = { 0 };
		struct tally with = { 0 };

		for (uint32_t seed = 1; seed <= SEEDS_COUNT; seed++) {
			struct tally quiet = tally_flood(
				deployment, variants[i], seed, false);
			struct tally flood = tally_flood(
				deployment, variants[i], seed, true);

			without.sent_count += quiet.sent_count;
			without.in_time_count += quiet.in_time_count;
			with.sent_count += flood.sent_count;
			with.in_time_count += flood.in_time_count;
		}
		printf("%-8s flood     %-20s others keep %6.2f %% (%.2f %% in "
		       "time without, %.2f %% with)\n",
		       deployment->name, variants[i]->name,
		       100 * in_time_percent(&with) / in_time_percent(&without),
		       in_time_percent(&without), in_time_percent(&with));
		fprintf(data, "\"%s\" %.3f %.3f\n", variants[i]->name,
			in_time_percent(&without), in_time_percent(&with));
	}
	fprintf(data, "\n\n");
}

static void measure_moves(const struct deployment *deployment)
{
	const struct variant *const variants[] = { &ours, &ours_greedy,
						   &baseline };

	fprintf(data, "# %s: moves in bursts, then under sustained demand\n",
		deployment->name);
	for (uint32_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		struct site *site =
			open_site(deployment, variants[i], SPARE_MAX_COUNT, 1);
		double *factors = g_new0(double, site->queues->len);
		uint32_t burst_move_count;

		run_bursts_in_turn(site, MOVES_ROTATIONS_COUNT);
		burst_move_count = site->move_count;
		for (guint k = 0; k < site->queues->len; k++)
			factors[k] = 1;
		factors[0] = SUSTAINED_FACTOR;
		run_factors(site, factors, SUSTAINED_US);
		printf("%-8s moves     %-20s %3u in %.0f min of bursts, %3u in "
		       "%.0f min of sustained demand\n",
		       deployment->name, variants[i]->name, burst_move_count,
		       (double)(BURST_US * MOVES_ROTATIONS_COUNT *
				site->queues->len) /
			       USEC_PER_SEC / 60,
		       site->move_count - burst_move_count,
		       (double)SUSTAINED_US / USEC_PER_SEC / 60);
		fprintf(data, "\"%s\" %u %u\n", variants[i]->name,
			burst_move_count, site->move_count - burst_move_count);
		g_free(factors);
		close_site(site);
	}
	fprintf(data, "\n\n");
}

static void measure_wave(const struct deployment *deployment)
{
	const struct variant *const variants[] = { &ours, &baseline };

	fprintf(data, "# %s: minutes since the start, instances maintained\n",
		deployment->name);
	for (uint32_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		struct site *site =
			open_site(deployment, variants[i], SPARE_MAX_COUNT, 1);
		int64_t start_us = site->world->now_us;
		uint32_t reported_count = 0;
		double *rates = g_new0(double, site->streams->len);
		double minutes = 0;

		/* A low rate, so that drains have requests to wait for. */
		for (guint k = 0; k < site->streams->len; k++)
			rates[k] = 0.5;
		fprintf(data, "# %s\n0 0\n", variants[i]->name);
		site_start_wave(site, WAVE_PARALLEL_COUNT);
		while (site->done_count < site_instance_count(site) &&
		       site->world->now_us - start_us < WAVE_LIMIT_US) {
			site_run(site, rates, 5 * USEC_PER_SEC);
			minutes = (double)(site->world->now_us - start_us) /
				  USEC_PER_SEC / 60;
			if (site->done_count != reported_count)
				fprintf(data, "%.2f %u\n", minutes,
					site->done_count);
			reported_count = site->done_count;
		}
		printf("%-8s roll-out  %-20s %u of %u instances in %.0f min, "
		       "%u failed; %.0f a day\n",
		       deployment->name, variants[i]->name, site->done_count,
		       site_instance_count(site), minutes, site->failed_count,
		       site->done_count * 1440 / minutes);
		fprintf(data, "\n\n");
		g_free(rates);
		close_site(site);
	}
}

int main(int argc, char **argv)
{
	const char *path = argc > 1 ? argv[1] : "measure.dat";

	setvbuf(stdout, NULL, _IOLBF, 0);
	data = fopen(path, "w");
	if (!data) {
		fprintf(stderr, "bench-measure: can't write %s\n", path);
		return EXIT_FAILURE;
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		measure_buffer(&deployments[i]);
		measure_wave(&deployments[i]);
		measure_moves(&deployments[i]);
		measure_flood(&deployments[i]);
	}
	fclose(data);
	printf("%u violations of the invariants; data for gnuplot in %s\n",
	       violation_count, path);
	return violation_count ? EXIT_FAILURE : EXIT_SUCCESS;
}
