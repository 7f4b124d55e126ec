/** Renders the settings template of the deploy file with the fields of the users' settings. */
export function renderTemplate(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split('.').reduce((inner, key) => inner?.[key], fields);
    if (isJson) return JSON.stringify(value ?? null);
    if (value === undefined) return '';
    return Array.isArray(value) ? value.join(',') : String(value);
  });
}
