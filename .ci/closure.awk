# Prints the packages on a new machine after the packages in the variable
# `listed` are installed: these, the essential packages, and all dependencies of
# either. Of alternative dependencies, the first is installed.
# Input: dpkg-query -W -f '${Package}\t${Essential}\t${Provides}\t${Pre-Depends},${Depends}\n'

# The package name in a dependency such as "libc6:any (>= 2.34)".
function name_of(relation)
{
	gsub(/\(.*\)|:[a-z0-9]+| /, "", relation)
	return relation
}

function add(package)
{
	if (package != "" && !(package in wanted)) {
		wanted[package] = 1
		queue[++queued] = package
	}
}

function add_providers(virtual,    names, n, i)
{
	n = split(providers[virtual], names, " ")
	for (i = 1; i <= n; i++)
		add(names[i])
}

function add_depends(package,    groups, choices, n, i)
{
	n = split(depends[package], groups, ",")
	for (i = 1; i <= n; i++) {
		split(groups[i], choices, "|")
		add(name_of(choices[1]))
	}
}

BEGIN {
	FS = "\t"
}

{
	depends[$1] = $4
	if ($2 == "yes")
		add($1)
	n = split($3, provided, ",")
	for (i = 1; i <= n; i++) {
		virtual = name_of(provided[i])
		providers[virtual] = providers[virtual] " " $1
	}
}

END {
	n = split(listed, names, " ")
	for (i = 1; i <= n; i++)
		add(names[i])
	for (at = 1; at <= queued; at++) {
		package = queue[at]
		if (package in depends) {
			print package
			add_depends(package)
		} else {
			add_providers(package)
		}
	}
}
