// What processes have used, as the kernel counts it.
#pragma once

#include <unistd.h>

#include <fstream>
#include <string>

struct Usage {
	double processor_s = 0;
	double resident_bytes = 0;
	double control_bytes = 0;
};

// Reads the processor time and the resident memory of a process.
inline void add_process(pid_t id, Usage &usage)
{
	std::ifstream stat("/proc/" + std::to_string(id) + "/stat");
	std::ifstream statm("/proc/" + std::to_string(id) + "/statm");
	std::string field;
	double pages = 0;
	const int user_field = 14;

	for (int i = 1; i < user_field; i++)
		stat >> field;
	for (int i = 0; i < 2; i++) {
		stat >> field;
		usage.processor_s += std::stod(field) / (double)sysconf(_SC_CLK_TCK);
	}
	statm >> field >> pages;
	usage.resident_bytes += pages * (double)sysconf(_SC_PAGESIZE);
}
